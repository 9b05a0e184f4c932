#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief An error in an input file with its position. */
struct Diagnostic {
    std::string file;
    int line = 0; /**< 1-based; 0 if the error concerns the whole file. */
    int column = 0; /**< 1-based; 0 if the error concerns the whole file. */
    std::string text;

    /** @brief Formats the error as "file:line:column: text". */
    [[nodiscard]] std::string format() const
    {
        return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + text;
    }
};

/** @brief Thrown when an input is invalid; holds every error found in it. */
class InvalidInput : public std::runtime_error
{
public:
    /**
     * @brief Creates an exception whose message has one formatted error per line.
     * @param diagnostics At least one error.
     */
    explicit InvalidInput(std::vector<Diagnostic> diagnostics)
        : std::runtime_error(join(diagnostics))
        , diagnostics_(std::move(diagnostics))
    {
    }

    /** @brief Returns the errors in the order in which they were found. */
    [[nodiscard]] const std::vector<Diagnostic> &diagnostics() const noexcept
    {
        return diagnostics_;
    }

private:
    [[nodiscard]] static std::string join(const std::vector<Diagnostic> &diagnostics)
    {
        std::string text;
        for (const auto &diagnostic : diagnostics) {
            text += diagnostic.format() + "\n";
        }
        return text;
    }

    std::vector<Diagnostic> diagnostics_;
};

} // namespace cyclamenspool::config
