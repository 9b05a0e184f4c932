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

/** @brief Range that a number has to be in. */
struct Range {
    double low = std::numeric_limits<double>::lowest();
    double high = std::numeric_limits<double>::max();
};

/**
 * @brief Reads one YAML key into one member of a record.
 * @tparam Record Type of the record.
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
    Range range{}; /**< For numbers; for times in milliseconds. */
    std::vector<std::string> choices{}; /**< For text: the allowed values; empty: any text that is not empty. */
};

namespace internal {

/**
 * @brief Converts a scalar node.
 * @tparam Value Type to convert to.
 * @param node YAML node.
 * @param what Name of the type for the error text.
 * @return Value.
 */
template<typename Value>
[[nodiscard]] Value convert(const YAML::Node &node, const char *what)
{
    try {
        return node.as<Value>();
    } catch (const YAML::Exception &) {
        throw std::invalid_argument(std::string("must be ") + what);
    }
}

/** @brief Checks a number. @param value Number. @param range Allowed range. */
inline void checkRange(double value, const Range &range)
{
    if (!(value >= range.low && value <= range.high)) {
        throw std::invalid_argument("must be between " + std::to_string(range.low) + " and " + std::to_string(range.high));
    }
}

/** @brief Reads a node into a member by the member's type. */
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
        record_.*member = convert<std::string>(node_, "text");
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
        record_.*member = convert<std::vector<std::string>>(node_, "a list of text");
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

/** @brief Collects errors with their places while a YAML text is read. */
class Diagnostics
{
public:
    /** @brief Creates an empty collection. @param file Name for the errors. */
    explicit Diagnostics(std::string file)
        : file_(std::move(file))
    {
    }

    /** @brief Adds an error at a node. @param node YAML node. @param text Error text. */
    void add(const YAML::Node &node, const std::string &text)
    {
        add(node.Mark(), text);
    }

    /** @brief Adds an error at a mark. @param mark YAML mark. @param text Error text. */
    void add(const YAML::Mark &mark, const std::string &text)
    {
        errors_.push_back({file_, mark.line + 1, mark.column + 1, text});
    }

    /** @brief Adds an error without a place. @param text Error text. */
    void add(const std::string &text)
    {
        errors_.push_back({file_, 0, 0, text});
    }

    /** @brief Counts the errors. @return Number of errors added. */
    [[nodiscard]] std::size_t count() const noexcept
    {
        return errors_.size();
    }

    /** @brief Throws InvalidInput if an error was added. */
    void raise() const
    {
        if (!errors_.empty()) {
            throw InvalidInput(errors_);
        }
    }

    /**
     * @brief Parses YAML text; a syntax error is raised at once.
     * @param text YAML text.
     * @return Root node.
     */
    [[nodiscard]] YAML::Node parse(const std::string &text)
    {
        try {
            return YAML::Load(text);
        } catch (const YAML::Exception &error) {
            add(error.mark, error.msg);
            raise();
            throw;
        }
    }

private:
    std::string file_;
    std::vector<Diagnostic> errors_;
};

/**
 * @brief Reads a YAML mapping into a record by a table of fields.
 * @tparam Record Type of the record.
 * @param node Mapping node.
 * @param fields Table of fields.
 * @param record Record that is filled.
 * @param diagnostics Receives every error: unknown key, wrong type, missing or out of range.
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
        const auto matches = [&key](const Field<Record> &field) {
            return key == field.name;
        };
        if (std::none_of(fields.begin(), fields.end(), matches)) {
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
