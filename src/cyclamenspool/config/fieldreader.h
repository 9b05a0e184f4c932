#pragma once

#include <cyclamenspool/config/diagnostic.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenspool::config {

/** @brief Inclusive range of allowed values of a number. */
struct Range {
    double low = std::numeric_limits<double>::lowest();
    double high = std::numeric_limits<double>::max();
};

/**
 * @brief Maps a YAML key to a member of a record, with the constraints on its value.
 * @tparam Record Type that holds the member.
 */
template<typename Record>
struct Field {
    using Member = std::variant<std::string Record::*,
                                double Record::*,
                                int Record::*,
                                bool Record::*,
                                std::chrono::milliseconds Record::*,
                                std::chrono::duration<double> Record::*,
                                std::vector<std::string> Record::*>;

    const char *name;
    Member member;
    bool required = false;
    Range range{}; /**< For numbers and times; in the unit in which the value is written. */
    std::vector<std::string> choices{}; /**< For strings: the allowed values; empty allows any non-empty string. */
};

namespace internal {

/**
 * @brief Converts a YAML node.
 * @tparam Value Type to convert to.
 * @param typeName Name of the expected type, used in the error message.
 * @throws std::invalid_argument The node does not hold such a value.
 */
template<typename Value>
[[nodiscard]] Value convert(const YAML::Node &node, const char *typeName)
{
    try {
        return node.as<Value>();
    } catch (const YAML::Exception &) {
        throw std::invalid_argument(std::string("must be ") + typeName);
    }
}

/** @brief Checks that a number is within a range. @throws std::invalid_argument The number is out of range or not a number (NaN). */
inline void checkRange(double value, const Range &range)
{
    if (!(value >= range.low && value <= range.high)) {
        throw std::invalid_argument("must be between " + std::to_string(range.low) + " and " + std::to_string(range.high));
    }
}

/** @brief Visitor that converts a YAML node to the type of a field's member, checks it and stores it. */
template<typename Record>
class MemberReader
{
public:
    MemberReader(Record &record, const Field<Record> &field, const YAML::Node &node)
        : record_(record)
        , field_(field)
        , node_(node)
    {
    }

    void operator()(std::string Record::*member) const
    {
        record_.*member = convert<std::string>(node_, "a string");
        checkText(record_.*member);
    }

    void operator()(double Record::*member) const
    {
        record_.*member = convert<double>(node_, "a number");
        checkRange(record_.*member, field_.range);
    }

    void operator()(int Record::*member) const
    {
        record_.*member = convert<int>(node_, "a whole number");
        checkRange(record_.*member, field_.range);
    }

    void operator()(bool Record::*member) const
    {
        record_.*member = convert<bool>(node_, "true or false");
    }

    void operator()(std::chrono::milliseconds Record::*member) const
    {
        const auto millis = convert<long>(node_, "a whole number of milliseconds");
        checkRange(static_cast<double>(millis), field_.range);
        record_.*member = std::chrono::milliseconds(millis);
    }

    void operator()(std::chrono::duration<double> Record::*member) const
    {
        const auto seconds = convert<double>(node_, "a number of seconds");
        checkRange(seconds, field_.range);
        record_.*member = std::chrono::duration<double>(seconds);
    }

    void operator()(std::vector<std::string> Record::*member) const
    {
        record_.*member = convert<std::vector<std::string>>(node_, "a list of strings");
    }

private:
    void checkText(const std::string &text) const
    {
        if (text.empty()) {
            throw std::invalid_argument("must not be empty");
        }
        if (field_.choices.empty()) {
            return;
        }
        std::string allowed;
        for (const auto &choice : field_.choices) {
            if (choice == text) {
                return;
            }
            allowed += " " + choice;
        }
        throw std::invalid_argument("must be one of:" + allowed);
    }

    Record &record_;
    const Field<Record> &field_;
    const YAML::Node &node_;
};

} // namespace internal

/** @brief Collects errors with their line and column while a YAML text is read. */
class Diagnostics
{
public:
    /**
     * @brief Creates an empty collection.
     * @param file File name that error messages refer to.
     */
    explicit Diagnostics(std::string file)
        : file_(std::move(file))
    {
    }

    /** @brief Adds an error at the position of a YAML node. */
    void add(const YAML::Node &node, const std::string &text)
    {
        add(node.Mark(), text);
    }

    /** @brief Adds an error at a position in the YAML text. */
    void add(const YAML::Mark &mark, const std::string &text)
    {
        errors_.push_back({file_, mark.line + 1, mark.column + 1, text});
    }

    /** @brief Adds an error that concerns the whole file. */
    void add(const std::string &text)
    {
        errors_.push_back({file_, 0, 0, text});
    }

    /** @brief Returns the number of errors added so far. */
    [[nodiscard]] std::size_t count() const noexcept
    {
        return errors_.size();
    }

    /** @brief Throws an exception with all errors if there are any. @throws InvalidInput At least one error was added. */
    void throwIfAny() const
    {
        if (!errors_.empty()) {
            throw InvalidInput(errors_);
        }
    }

    /**
     * @brief Parses YAML text.
     * @return Root node.
     * @throws InvalidInput The text has a syntax error; errors added earlier are included.
     */
    [[nodiscard]] YAML::Node parse(const std::string &text)
    {
        try {
            return YAML::Load(text);
        } catch (const YAML::Exception &error) {
            add(error.mark, error.msg);
            throwIfAny();
            throw;
        }
    }

private:
    std::string file_;
    std::vector<Diagnostic> errors_;
};

/**
 * @brief Reads a YAML mapping into a record.
 * @tparam Record Type of the record.
 * @param node YAML mapping.
 * @param fields Fields of the record; every other key is an error.
 * @param record Record to fill; members whose key is missing keep their values.
 * @param diagnostics Receives an error for each unknown key, missing required key, and value of the wrong type or out of range.
 */
template<typename Record>
void readRecord(const YAML::Node &node, const std::vector<Field<Record>> &fields, Record &record, Diagnostics &diagnostics)
{
    if (!node.IsMap()) {
        diagnostics.add(node, "must be a mapping");
        return;
    }
    for (const auto &entry : node) {
        const auto key = entry.first.as<std::string>("");
        const auto hasKey = [&key](const Field<Record> &field) {
            return key == field.name;
        };
        if (std::none_of(fields.begin(), fields.end(), hasKey)) {
            diagnostics.add(entry.first, "unknown key '" + key + "'");
        }
    }
    for (const auto &field : fields) {
        const YAML::Node value = node[field.name];
        if (!value) {
            if (field.required) {
                diagnostics.add(node, std::string("missing key '") + field.name + "'");
            }
            continue;
        }
        try {
            std::visit(internal::MemberReader<Record>(record, field, value), field.member);
        } catch (const std::invalid_argument &error) {
            diagnostics.add(value, std::string("'") + field.name + "' " + error.what());
        }
    }
}

} // namespace cyclamenspool::config
