#pragma once

namespace cyclamenspool::config {
struct Diagnostic;
class InvalidInput;
struct Settings;
class Table;
struct Row;
struct Delta;
class Document;
class DocumentStore;
} // namespace cyclamenspool::config
