// Writes and syncs a controller's data folder on a dedicated thread.
#include "hemlockhill/storage_thread.h"

#include "hemlockhill/log.h"
#include "storage/group_files.h"
#include "storage/storage_file.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// Delay before a folder on a full or faulty disk is opened again.
constexpr std::chrono::milliseconds ReopenDelay(700);
} // namespace

StorageThread::StorageThread(StorageThreadSettings settings, Metrics &metrics, EventHandler eventHandler, FileHooks hooks)
    : m_folder(std::move(settings.folder))
    , m_founders(std::move(settings.founders))
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
        StorageSettings settings{m_folder};
        if (m_founders) {
            settings.prepareNewFolder = [this] { writeFounders(m_hooks, m_folder, *m_founders); };
        }
        m_storage = std::make_unique<LogStorage>(std::move(settings), m_hooks);
        if (m_storage->report().tornBytes > 0) {
            m_metrics.countEvent("torn_tail_cut");
            logEvent(Severity::Warning, "incomplete record at the end of the log removed", {{"bytes", m_storage->report().tornBytes}});
        }
        StorageOpened opened{m_opening + StorageOpening{1}, m_storage->identity()};
        opened.restored = m_storage->takeRestoredState();
        opened.initialMembership = readInitialMembership(m_hooks, m_folder);
        writeFoundersIfBlank(opened);
        opened.founders = readFounders(m_hooks, m_folder);
        m_opening = opened.opening;
        m_eventHandler(std::move(opened));
    } catch (const StorageError &error) {
        fail(error);
    }
}

// A blank folder that an earlier start has left also gets the founders of the first start of the system.
void StorageThread::writeFoundersIfBlank(const StorageOpened &opened)
{
    const RestoredState &restored = opened.restored;
    const bool isBlank =
        !opened.initialMembership && restored.hardState.term == Term{} && restored.entries.empty() && !restored.snapshot.has_value();
    if (m_founders && isBlank) {
        writeFounders(m_hooks, m_folder, *m_founders);
    }
    m_founders.reset();
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
            writeInitialMembership(m_hooks, m_folder, membership);
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
        if (pathExists(m_folder)) {
            setFolderAside(m_folder, m_hooks);
        }
    } catch (const Error &problem) {
        m_metrics.countEvent("storage_folder_not_replaced");
        logEvent(Severity::Error, "cannot replace failed data folder", {{"problem", problem.what()}});
        scheduleReopen();
        return;
    }
    m_isReplacementDue = false;
    // The former folder may have belonged to a group.
    m_founders.reset();
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
