// Files of the data folder, implemented with POSIX calls.
#include "storage/storage_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

namespace Hemlockhill
{

namespace
{

constexpr mode_t FileMode = 0600;
constexpr std::size_t ReadBytes = 1U << 16U;

StorageFault faultOf(int error)
{
    if (error == ENOSPC || error == EDQUOT) {
        return StorageFault::DiskFull;
    }
    return error == ENOENT ? StorageFault::FolderLost : StorageFault::InputOutput;
}

} // namespace

FileHooks posixFileHooks()
{
    FileHooks hooks;
    hooks.open = [](const char *path, int flags) { return ::open(path, flags | O_CLOEXEC, FileMode); };
    hooks.write = [](int file, const char *bytes, std::size_t size) { return static_cast<std::int64_t>(::write(file, bytes, size)); };
    hooks.read = [](int file, char *bytes, std::size_t size) { return static_cast<std::int64_t>(::read(file, bytes, size)); };
    hooks.sync = [](int file) { return ::fdatasync(file); };
    hooks.syncFolder = [](int folder) { return ::fsync(folder); };
    hooks.rename = [](const char *from, const char *to) { return std::rename(from, to); };
    hooks.remove = [](const char *path) { return ::unlink(path); };
    hooks.lock = [](int file) { return ::flock(file, LOCK_EX | LOCK_NB); };
    return hooks;
}

StorageError storageErrorOf(std::string_view operation, const std::filesystem::path &path)
{
    const int error = errno;
    return {faultOf(error), std::string(operation) + " " + path.string() + ": " + std::generic_category().message(error)};
}

StorageFile::StorageFile(const FileHooks &hooks, std::filesystem::path path, int flags)
    : m_hooks(hooks)
    , m_path(std::move(path))
    , m_descriptor(hooks.open(m_path.c_str(), flags))
{
    if (m_descriptor < 0) {
        throw storageErrorOf("open", m_path);
    }
}

StorageFile::~StorageFile()
{
    ::close(m_descriptor);
}

void StorageFile::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::int64_t written = m_hooks.write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            throw storageErrorOf("write", m_path);
        }
        if (written == 0) {
            throw StorageError(StorageFault::InputOutput, "write " + m_path.string() + ": no bytes were written");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

std::string StorageFile::readAll()
{
    std::string bytes;
    std::string part(ReadBytes, '\0');
    while (true) {
        const std::int64_t count = m_hooks.read(m_descriptor, part.data(), part.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            throw storageErrorOf("read", m_path);
        }
        if (count == 0) {
            return bytes;
        }
        bytes.append(part, 0, static_cast<std::size_t>(count));
    }
}

void StorageFile::overwrite(std::string_view bytes)
{
    if (::lseek(m_descriptor, 0, SEEK_SET) < 0) {
        throw storageErrorOf("seek", m_path);
    }
    write(bytes);
}

void StorageFile::sync()
{
    if (m_hooks.sync(m_descriptor) != 0) {
        throw StorageError(StorageFault::SyncFailed, storageErrorOf("sync", m_path).what());
    }
}

bool StorageFile::tryLock()
{
    while (m_hooks.lock(m_descriptor) != 0) {
        if (errno == EWOULDBLOCK) {
            return false;
        }
        if (errno != EINTR) {
            throw storageErrorOf("lock", m_path);
        }
    }
    return true;
}

bool pathExists(const std::filesystem::path &path)
{
    std::error_code error;
    const bool exists = std::filesystem::exists(path, error);
    if (error) {
        throw StorageError(StorageFault::InputOutput, "cannot look up " + path.string() + ": " + error.message());
    }
    return exists;
}

std::string readFile(const FileHooks &hooks, const std::filesystem::path &path)
{
    return StorageFile(hooks, path, O_RDONLY).readAll();
}

void syncFolder(const FileHooks &hooks, const std::filesystem::path &folder)
{
    const int descriptor = hooks.open(folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0) {
        throw storageErrorOf("open", folder);
    }
    const int result = hooks.syncFolder(descriptor);
    ::close(descriptor);
    if (result != 0) {
        throw StorageError(StorageFault::SyncFailed, storageErrorOf("sync", folder).what());
    }
}

void renameFile(const FileHooks &hooks, const std::filesystem::path &from, const std::filesystem::path &to)
{
    if (hooks.rename(from.c_str(), to.c_str()) != 0) {
        throw storageErrorOf("rename", from);
    }
}

void removeFile(const FileHooks &hooks, const std::filesystem::path &path)
{
    if (hooks.remove(path.c_str()) != 0) {
        throw storageErrorOf("remove", path);
    }
}

void replaceFile(const FileHooks &hooks, const std::filesystem::path &path, std::string_view bytes)
{
    std::filesystem::path temporary = path;
    temporary += ".new";
    StorageFile file(hooks, temporary, O_WRONLY | O_CREAT | O_TRUNC);
    file.write(bytes);
    file.sync();
    renameFile(hooks, temporary, path);
    syncFolder(hooks, path.parent_path());
}

} // namespace Hemlockhill
