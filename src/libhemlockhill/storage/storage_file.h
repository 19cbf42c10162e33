// Files of the data folder, with every failure turned into a StorageError.
#pragma once

#include "hemlockhill/log_storage.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// The error for a failed operation on a path, from errno.
StorageError storageErrorOf(std::string_view operation, const std::filesystem::path &path);

// An open file, closed by the destructor. The hooks must outlive it.
class StorageFile
{
public:
    StorageFile(const FileHooks &hooks, std::filesystem::path path, int flags);
    ~StorageFile();
    StorageFile(const StorageFile &) = delete;
    StorageFile &operator=(const StorageFile &) = delete;

    const std::filesystem::path &path() const { return m_path; }
    void setPath(std::filesystem::path path) { m_path = std::move(path); }

    void write(std::string_view bytes);
    std::string readAll();
    // Writes over the start of the file.
    void overwrite(std::string_view bytes);
    void sync();
    // Locks the file against other processes until it is closed; false when another process holds it.
    bool tryLock();

private:
    const FileHooks &m_hooks;
    std::filesystem::path m_path;
    int m_descriptor;
};

std::string readFile(const FileHooks &hooks, const std::filesystem::path &path);
void syncFolder(const FileHooks &hooks, const std::filesystem::path &folder);
void renameFile(const FileHooks &hooks, const std::filesystem::path &from, const std::filesystem::path &to);
void removeFile(const FileHooks &hooks, const std::filesystem::path &path);

// Replaces a file so that a crash leaves either the old content or the new.
void replaceFile(const FileHooks &hooks, const std::filesystem::path &path, std::string_view bytes);

} // namespace Hemlockhill
