#pragma once

namespace cyclamenspool::node {
class DocumentSync;
class Node;
} // namespace cyclamenspool::node
