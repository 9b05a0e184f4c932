#pragma once

#include <cyclamenspool/wire/generated/messages.pb.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief Rows by key "section/name"; the text is a YAML flow mapping. */
using Rows = std::map<std::string, std::string>;

/**
 * @brief Splits a document's YAML text into rows.
 * @param text YAML mapping from section to a list of rows.
 * @param file Name for the errors.
 * @return Rows.
 * @throws InvalidInput With every error and its place.
 */
[[nodiscard]] Rows parseRows(const std::string &text, const std::string &file);

/** @brief One versioned value of the platform, kept as rows so that changes travel as deltas. */
class Document
{
public:
    /** @brief Replaces the content. @param revision Revision. @param rows All rows. @return Changed rows; an empty text means removed. */
    Rows replace(std::uint64_t revision, const Rows &rows);

    /** @brief Applies changed rows. @param revision New revision. @param changes Changed rows; an empty text means removed. */
    void apply(std::uint64_t revision, const Rows &changes);

    /** @brief Returns the rows. @return Rows by key. */
    [[nodiscard]] const Rows &rows() const noexcept
    {
        return rows_;
    }

    /** @brief Returns the revision. @return Revision; 0 before the first value. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    /** @brief Returns the digest over all rows. @return Sum of the row hashes. */
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
