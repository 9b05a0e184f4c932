#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace cyclamenspool::config {

/** @brief One error in an input, with its place. */
struct Diagnostic {
    std::string file;
    int line = 0; /**< From 1; 0: the whole file. */
    int column = 0; /**< From 1. */
    std::string text;

    /** @brief Formats the error. @return "file:line:column: text". */
    [[nodiscard]] std::string format() const
    {
        return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + text;
    }
};

/** @brief Input that was refused, with all its errors. */
class InvalidInput : public std::runtime_error
{
public:
    /** @brief Creates the refusal. @param diagnostics Errors, at least one. */
    explicit InvalidInput(std::vector<Diagnostic> diagnostics)
        : std::runtime_error(join(diagnostics))
        , diagnostics_(std::move(diagnostics))
    {
    }

    /** @brief Returns the errors. @return Errors in the order of the input. */
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
