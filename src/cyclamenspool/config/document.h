#pragma once

#include <cyclamenspool/wire/generated/messages.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief Rows of a document: key "section/name", value a YAML flow mapping. In a set of changes an empty value removes the row. */
using Rows = std::map<std::string, std::string>;

/**
 * @brief Parses the YAML text of a document into rows and validates each row.
 * @param text YAML mapping from section to a list of rows.
 * @param file File name that error messages refer to.
 * @return Rows by key.
 * @throws InvalidInput Contains every error with its line and column.
 */
[[nodiscard]] Rows parseRows(const std::string &text, const std::string &file);

/** @brief A versioned document of the configuration service, stored as rows so that changes can be sent as deltas. */
class Document
{
public:
    /**
     * @brief Replaces all rows.
     * @param revision New revision.
     * @param rows Complete new content.
     * @return Changed rows; an empty value marks a removed row.
     */
    Rows replace(std::uint64_t revision, const Rows &rows);

    /**
     * @brief Applies a delta.
     * @param revision New revision.
     * @param changes Changed rows; an empty value removes the row.
     */
    void apply(std::uint64_t revision, const Rows &changes);

    /** @brief Returns the current rows by key. */
    [[nodiscard]] const Rows &rows() const noexcept
    {
        return rows_;
    }

    /** @brief Returns the current revision; 0 before the first update. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /** @brief Returns a digest of all rows: the sum of their hashes, independent of their order. */
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return digest_;
    }

private:
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;
    Rows rows_;
};

} // namespace cyclamenspool::config
