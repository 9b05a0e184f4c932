#include <cyclamenspool/config/document.h>
#include <cyclamenspool/config/fieldreader.h>
#include <cyclamenspool/config/table.h>
#include <cyclamenspool/core/hash.h>

namespace cyclamenspool::config {

namespace internal {

std::uint64_t rowHash(const std::string &key, const std::string &text)
{
    return core::hash64(text, core::hash64(key));
}

std::string toFlowText(const YAML::Node &node)
{
    YAML::Emitter emitter;
    emitter.SetMapFormat(YAML::Flow);
    emitter.SetSeqFormat(YAML::Flow);
    emitter << node;
    return emitter.c_str();
}

void parseSection(const std::string &section, const YAML::Node &list, Rows &rows, Diagnostics &diagnostics)
{
    if (!list.IsSequence()) {
        diagnostics.add(list, "section '" + section + "' must be a list of rows");
        return;
    }
    for (const auto &node : list) {
        const auto name = Table::checkRow(section, node, diagnostics);
        if (name.empty()) {
            continue;
        }
        const bool isNew = rows.emplace(section + "/" + name, toFlowText(node)).second;
        if (!isNew) {
            diagnostics.add(node, "'" + name + "' appears twice in '" + section + "'");
        }
    }
}

} // namespace internal

Rows parseRows(const std::string &text, const std::string &file)
{
    Diagnostics diagnostics(file);
    const auto root = diagnostics.parse(text);
    Rows rows;
    if (!root.IsMap()) {
        diagnostics.add(root, "must be a mapping from section name to a list of rows");
    } else {
        for (const auto &entry : root) {
            const auto section = entry.first.as<std::string>("");
            if (!Table::hasSection(section)) {
                diagnostics.add(entry.first, "unknown section '" + section + "'");
                continue;
            }
            internal::parseSection(section, entry.second, rows, diagnostics);
        }
    }
    diagnostics.throwIfAny();
    return rows;
}

Rows Document::replace(std::uint64_t revision, const Rows &rows)
{
    Rows changes;
    for (const auto &[key, text] : rows) {
        const auto old = rows_.find(key);
        if (old == rows_.end() || old->second != text) {
            changes[key] = text;
        }
    }
    for (const auto &[key, text] : rows_) {
        if (rows.count(key) == 0) {
            changes[key] = "";
        }
    }
    apply(revision, changes);
    return changes;
}

void Document::apply(std::uint64_t revision, const Rows &changes)
{
    revision_ = revision;
    for (const auto &[key, text] : changes) {
        const auto old = rows_.find(key);
        if (old != rows_.end()) {
            digest_ -= internal::rowHash(key, old->second);
            rows_.erase(old);
        }
        if (!text.empty()) {
            digest_ += internal::rowHash(key, text);
            rows_.emplace(key, text);
        }
    }
}

} // namespace cyclamenspool::config
