// Writes and syncs a controller's data folder on a dedicated thread.
#include "hemlockhill/storage_thread.h"

#include "hemlockhill/log.h"

#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Delay before a folder on a full or faulty disk is opened again.
constexpr std::chrono::milliseconds ReopenDelay(700);
constexpr const char *InitialMembershipFile = "initial-membership.json";

void syncPath(const std::filesystem::path &path)
{
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    const bool synced = file >= 0 && ::fsync(file) == 0;
    if (file >= 0) {
        ::close(file);
    }
    if (!synced) {
        throw StorageError(StorageFault::SyncFailed, "cannot sync " + path.string());
    }
}

std::optional<VoterMembership> readInitialMembership(const std::filesystem::path &folder)
{
    std::ifstream file(folder / InitialMembershipFile, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    try {
        return decodeMembership(text);
    } catch (const DecodeError &error) {
        throw StorageError(StorageFault::Corrupt, error.what());
    }
}

// Writes to a temporary file and renames it, so that a crash leaves either the complete file or none.
void writeInitialMembership(const std::filesystem::path &folder, const VoterMembership &membership)
{
    const std::filesystem::path final = folder / InitialMembershipFile;
    const std::filesystem::path temporary = final.string() + ".new";
    {
        std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
        file << encodeMembership(membership);
        file.flush();
        if (!file) {
            throw StorageError(StorageFault::InputOutput, "cannot write " + temporary.string());
        }
    }
    syncPath(temporary);
    std::error_code error;
    std::filesystem::rename(temporary, final, error);
    if (error) {
        throw StorageError(StorageFault::InputOutput, "cannot rename " + temporary.string());
    }
    syncPath(folder);
}

} // namespace

StorageThread::StorageThread(std::filesystem::path folder, Metrics &metrics, EventHandler eventHandler, FileHooks hooks)
    : m_folder(std::move(folder))
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_eventHandler(std::move(eventHandler))
    , m_thread("storage")
    , m_reopen(m_thread.context())
{
}

StorageThread::~StorageThread()
{
    stop();
}

void StorageThread::start()
{
    boost::asio::post(m_thread.context(), [this] { open(); });
    m_thread.start();
}

void StorageThread::stop()
{
    m_thread.stop();
}

void StorageThread::open()
{
    try {
        m_storage = std::make_unique<LogStorage>(StorageSettings{m_folder, StorageSettings{}.segmentBytes}, m_hooks);
        if (m_storage->report().tornBytes > 0) {
            m_metrics.countEvent("torn_tail_cut");
            logEvent(Severity::Warning, "incomplete record at the end of the log removed", {{"bytes", m_storage->report().tornBytes}});
        }
        m_opening += StorageOpening{1};
        m_eventHandler(StorageOpened{m_opening, m_storage->identity(), m_storage->takeRestoredState(), readInitialMembership(m_folder)});
    } catch (const StorageError &error) {
        fail(error);
    }
}

bool StorageThread::isCurrent(StorageOpening opening)
{
    const bool isCurrent = m_storage && opening == m_opening;
    if (!isCurrent) {
        m_metrics.countEvent("storage_work_discarded");
    }
    return isCurrent;
}

void StorageThread::saveInitialMembership(StorageOpening opening, VoterMembership membership)
{
    boost::asio::post(m_thread.context(), [this, opening, membership = std::move(membership)] {
        if (!isCurrent(opening)) {
            return;
        }
        try {
            writeInitialMembership(m_folder, membership);
        } catch (const StorageError &error) {
            fail(error);
        }
    });
}

void StorageThread::write(StorageOpening opening, ConsensusActions actions)
{
    boost::asio::post(m_thread.context(), [this, opening, actions = std::move(actions)] {
        if (!isCurrent(opening)) {
            return;
        }
        try {
            m_storage->write(actions);
        } catch (const StorageError &error) {
            fail(error);
            return;
        }
        m_writtenMark = actions.mark;
        if (!std::exchange(m_syncScheduled, true)) {
            boost::asio::post(m_thread.context(), [this] { syncWritten(); });
        }
    });
}

// Covers all writes that were queued when it was posted.
void StorageThread::syncWritten()
{
    m_syncScheduled = false;
    if (!m_storage || !m_writtenMark) {
        return;
    }
    try {
        m_storage->sync();
    } catch (const StorageError &error) {
        fail(error);
        return;
    }
    m_eventHandler(StorageSynced{m_opening, *m_writtenMark});
}

void StorageThread::fail(const StorageError &error)
{
    m_storage.reset();
    m_writtenMark.reset();
    m_metrics.countEvent("storage_" + std::string(toText(error.fault())));
    logEvent(Severity::Error,
             "data folder failed",
             {{"fault", toText(error.fault())}, {"reaction", toText(error.reaction())}, {"problem", error.what()}});
    m_eventHandler(StorageFailed{error.fault()});
    m_isReplacementDue = m_isReplacementDue || error.reaction() == StorageReaction::RejoinAsLearner;
    if (m_isReplacementDue) {
        replaceFolder();
    } else {
        scheduleReopen();
    }
}

void StorageThread::replaceFolder()
{
    try {
        if (std::filesystem::exists(m_folder)) {
            setFolderAside(m_folder, m_hooks);
        }
    } catch (const Error &problem) {
        m_metrics.countEvent("storage_folder_not_replaced");
        logEvent(Severity::Error, "cannot replace failed data folder", {{"problem", problem.what()}});
        scheduleReopen();
        return;
    }
    m_isReplacementDue = false;
    open();
}

void StorageThread::scheduleReopen()
{
    m_reopen.expires_after(ReopenDelay);
    m_reopen.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (m_isReplacementDue) {
            replaceFolder();
        } else {
            open();
        }
    });
}

} // namespace Hemlockhill
