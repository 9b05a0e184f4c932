#include <cyclamenspool/policy/chatdirectory.h>

namespace cyclamenspool::policy {

const ChatPlacement *ChatDirectory::find(const std::string &chat, core::MonotonicTime at)
{
    const auto found = index_.find(chat);
    if (found == index_.end()) {
        return nullptr;
    }
    entries_.splice(entries_.begin(), entries_, found->second);
    found->second->place.lastUsed = at;
    return &found->second->place;
}

void ChatDirectory::put(const std::string &chat, ChatPlacement place)
{
    erase(chat);
    entries_.push_front({chat, std::move(place)});
    index_[chat] = entries_.begin();
    if (index_.size() > capacity_) {
        index_.erase(entries_.back().chat);
        entries_.pop_back();
    }
}

void ChatDirectory::erase(const std::string &chat)
{
    const auto found = index_.find(chat);
    if (found != index_.end()) {
        entries_.erase(found->second);
        index_.erase(found);
    }
}

void ChatDirectory::eraseServer(const std::string &server)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (entry->place.server == server) {
            index_.erase(entry->chat);
            entry = entries_.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace cyclamenspool::policy
