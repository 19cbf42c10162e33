// Files of the data folder. Failures are reported as StorageError.
#pragma once

#include "hemlockhill/log_storage.h"

#include <filesystem>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// Builds the error of a failed operation on a path from errno.
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
    // Writes the bytes at the start of the file without truncating it.
    void overwrite(std::string_view bytes);
    void sync();
    // Locks the file until it is closed. Returns false if another process has locked it.
    bool tryLock();

private:
    const FileHooks &m_hooks;
    std::filesystem::path m_path;
    int m_descriptor;
};

// Whether the file or folder exists.
bool pathExists(const std::filesystem::path &path);
std::string readFile(const FileHooks &hooks, const std::filesystem::path &path);
void syncFolder(const FileHooks &hooks, const std::filesystem::path &folder);
void renameFile(const FileHooks &hooks, const std::filesystem::path &from, const std::filesystem::path &to);
void removeFile(const FileHooks &hooks, const std::filesystem::path &path);

// Replaces a file atomically: after a crash it has either the old or the new contents.
void replaceFile(const FileHooks &hooks, const std::filesystem::path &path, std::string_view bytes);

} // namespace Hemlockhill
