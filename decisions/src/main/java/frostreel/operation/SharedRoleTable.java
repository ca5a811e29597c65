package frostreel.operation;

import static frostreel.operation.RoleTableCopy.ENTRY_LONGS;
import static frostreel.operation.RoleTableCopy.HEADER_LONGS;
import static frostreel.operation.RoleTableCopy.NOT_FOUND;
import static frostreel.operation.RoleTableCopy.NO_TIME;
import static frostreel.operation.RoleTableCopy.REGION_LONGS;

import frostreel.routing.PeerRoles;
import frostreel.routing.Router.Role;

/**
 * Table of the roles of members, shared by all processes of one pooler. It makes what one process has been told about a
 * member's role known to the others, in both directions and over several upgrades in a row. Each process has its own
 * table object, confined to its event loop, which works on a copy of the stored table. Times are microseconds on the
 * pooler's clock.
 *
 * <p>The table is divided into regions, one for each process, see {@link OwnedRegion}; {@link RoleTableCopy} has the
 * layout. A new process takes over the region with the oldest heartbeat and keeps its content.
 *
 * <h2>Crashes, damage and restarts</h2>
 *
 * An entry or a header whose checksum does not match makes the evidence that it may contain incomplete until it is
 * written again. A header also states up to when evidence may be missing from its region: that of entries that were
 * replaced, and that of processes that do not use this table. Each process writes its whole region anew at each
 * heartbeat, so damage lasts no longer than its writer lives. Evidence is ranked by its time, whoever left it, and that
 * from before the start of the pooler does not count: a process that finds no living process starts the pooler anew,
 * and one that does belongs to the same pooler.
 */
public final class SharedRoleTable implements PeerRoles {
    /** Size of the table. */
    public static final int LONGS = RoleTableCopy.LONGS;

    /** Time, in microseconds, without a heartbeat after which a process counts as ended; there are five a second. */
    static final long ENDED_AFTER_US = 10_000_000;
    /** Shortest interval, in microseconds, between two looks at what living processes have written. */
    static final long REFRESH_INTERVAL_US = 1_000;
    /** Shortest interval, in microseconds, between two looks for processes that are new. */
    static final long FULL_REFRESH_INTERVAL_US = 10_000;
    /** Evidence that changes nothing is written again after this time, in microseconds. */
    static final long RENEWAL_INTERVAL_US = 50_000;

    private final SharedTableStorage storage;
    /** The own region is ahead of the stored one, the others may lag behind it. */
    private final RoleTableCopy copy = new RoleTableCopy();

    private final OwnedRegion ownRegion;
    /** Start of the first of the processes that followed each other without a gap up to this one. */
    private long poolerStartedUs;
    /** Time up to which evidence may be missing from this process's region. */
    private long missingUpToUs;
    /** Whether the others' regions could be read at the last attempt. */
    private boolean isReadable;
    /** Whether the header of a region was damaged when it was read, by region. */
    private final boolean[] damaged = new boolean[OwnedRegion.REGIONS];

    private long lastHeartbeatUs;
    private long lastRefreshUs;
    private long lastFullRefreshUs;
    /** Latest times that the last search has found. */
    private long foundPrimaryAtUs;

    private long foundReplicaAtUs;

    /**
     * Claims a region of the table.
     *
     * @param incarnation a number other than 0 that no other process of this pooler has or had
     * @param strangersUntilUs time until which processes that do not use this table may be serving, unless a living
     *     process that uses it has recorded another time
     */
    public SharedRoleTable(SharedTableStorage storage, long incarnation, long nowUs, long strangersUntilUs) {
        this.storage = storage;
        ownRegion = new OwnedRegion(copy, REGION_LONGS, incarnation);
        poolerStartedUs = nowUs;
        missingUpToUs = strangersUntilUs;
        readOthers();
        joinLivingProcesses(nowUs);
        claimRegion(nowUs);
    }

    // ---- Regions. ----

    private void joinLivingProcesses(long nowUs) {
        boolean mayHaveUnknownPeers = !isReadable;
        boolean hasPeers = false;
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            mayHaveUnknownPeers |= isDamaged(region);
            if (lives(nowUs, region)) {
                hasPeers = true;
                poolerStartedUs = Math.min(poolerStartedUs, copy.poolerStartedUs(region));
            }
        }
        if (hasPeers && !mayHaveUnknownPeers) {
            missingUpToUs = NO_TIME; // What they have recorded applies to all.
        }
    }

    private boolean lives(long nowUs, int region) {
        return ownRegion.isUsed(region) && !isDamaged(region) && nowUs - ownRegion.heartbeatUs(region) < ENDED_AFTER_US;
    }

    /** Whether the header of a region that has been used did not match its checksum when it was read. */
    private boolean isDamaged(int region) {
        return damaged[region / REGION_LONGS];
    }

    /** Claims a region, whose intact content is kept; a damaged one is preferred, as this makes it whole. */
    private void claimRegion(long nowUs) {
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (isDamaged(region)) {
                ownRegion.offer(region);
            }
        }
        ownRegion.claim(nowUs);
        lastHeartbeatUs = nowUs;
        int region = ownRegion.start();
        if (!isDamaged(region)) {
            missingUpToUs = Math.max(missingUpToUs, copy.missingUpToUs(region));
        }
        damaged[region / REGION_LONGS] = false;
        long[] content = copy.copyOf(region);
        copy.removeEntries(region);
        RoleTableCopy.forEachIntact(content, this::addEntry);
        writeRegion();
    }

    /**
     * Claims another region if this one is no longer owned: it was taken over while this process was suspended, or it
     * is damaged. What this process knows is carried over.
     */
    private void ensureRegion(long nowUs) {
        boolean isRead = storage.read(copy.values, ownRegion.start(), OwnedRegion.OWNER_LONGS);
        if (isRead && !ownRegion.isOwned()) {
            long[] known = copy.copyOf(ownRegion.start());
            readOthers();
            claimRegion(nowUs);
            RoleTableCopy.forEachIntact(known, this::addEntry);
            writeRegion();
        }
    }

    private void writeRegion() {
        copy.setHeader(ownRegion.start(), poolerStartedUs, missingUpToUs);
        storage.write(copy.values, ownRegion.start(), REGION_LONGS);
    }

    private void readOthers() {
        isReadable = true;
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (region != ownRegion.start() || !ownRegion.isOwned()) {
                readRegion(region, REGION_LONGS);
            }
        }
    }

    private void readRegion(int region, int length) {
        isReadable &= storage.read(copy.values, region, length);
        damaged[region / REGION_LONGS] = ownRegion.isUsed(region) && !copy.isHeaderIntact(region);
    }

    /** Records a heartbeat, writes the region of this process anew and reads those of the others. */
    public void onHeartbeat(long nowUs) {
        ensureRegion(nowUs);
        ownRegion.beat(nowUs);
        lastHeartbeatUs = nowUs;
        writeRegion();
        readOthers();
    }

    @Override
    public void refresh(long nowUs) {
        if (nowUs - lastRefreshUs < REFRESH_INTERVAL_US) {
            return;
        }
        lastRefreshUs = nowUs;
        boolean looksForNewProcesses = nowUs - lastFullRefreshUs >= FULL_REFRESH_INTERVAL_US;
        lastFullRefreshUs = looksForNewProcesses ? nowUs : lastFullRefreshUs;
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (region != ownRegion.start() && (looksForNewProcesses || lives(nowUs, region))) {
                refreshRegion(region);
            }
        }
    }

    private void refreshRegion(int region) {
        long knownChanges = copy.changes(region);
        readRegion(region, HEADER_LONGS);
        if (copy.changes(region) != knownChanges) {
            readRegion(region, REGION_LONGS);
        }
    }

    // ---- Evidence. ----

    @Override
    public void publish(long memberKey, Role role, long atUs) {
        boolean isPrimary = role == Role.PRIMARY;
        if (isNews(memberKey, isPrimary, atUs)) {
            ensureRegion(lastHeartbeatUs);
            addEntry(memberKey, isPrimary ? atUs : NO_TIME, isPrimary ? NO_TIME : atUs);
            int region = ownRegion.start();
            storage.write(copy.values, copy.entryOf(region, memberKey), ENTRY_LONGS);
            copy.setHeader(region, poolerStartedUs, missingUpToUs);
            storage.write(copy.values, region, HEADER_LONGS);
        }
    }

    /** Whether evidence changes the role that the processes have been told last, or is due to be renewed. */
    private boolean isNews(long memberKey, boolean isPrimary, long atUs) {
        find(memberKey);
        long lastOtherRoleUs = isPrimary ? foundReplicaAtUs : foundPrimaryAtUs;
        resetFound();
        addEvidence(copy.entryOf(ownRegion.start(), memberKey));
        long lastPublishedUs = isPrimary ? foundPrimaryAtUs : foundReplicaAtUs;
        boolean changesRole = atUs > lastOtherRoleUs && lastPublishedUs <= lastOtherRoleUs;
        return changesRole || atUs - lastPublishedUs >= RENEWAL_INTERVAL_US;
    }

    /** Raises the times of a member in the copy of the own region, where it may replace another one. */
    private void addEntry(long memberKey, long primaryAtUs, long replicaAtUs) {
        int region = ownRegion.start();
        int entry = copy.entryFor(region, memberKey);
        if (copy.isOfOther(entry, memberKey)) {
            long replacedUs = copy.isIntact(entry) ? copy.latestUs(entry) : lastHeartbeatUs;
            missingUpToUs = Math.max(missingUpToUs, replacedUs);
        }
        copy.raise(region, entry, memberKey, primaryAtUs, replicaAtUs);
    }

    @Override
    public void read(long memberKey, Evidence result) {
        boolean isComplete = find(memberKey);
        long primaryAtUs = sinceStart(foundPrimaryAtUs);
        long replicaAtUs = sinceStart(foundReplicaAtUs);
        result.set(primaryAtUs, replicaAtUs, isComplete && Math.max(primaryAtUs, replicaAtUs) > missingUpToUs());
    }

    /** Returns the time, or {@link #NO_EVIDENCE} if it is from before the start of the pooler. */
    private long sinceStart(long atUs) {
        return atUs >= poolerStartedUs ? atUs : NO_EVIDENCE;
    }

    private long missingUpToUs() {
        long latestUs = missingUpToUs;
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (ownRegion.isUsed(region)) {
                latestUs = Math.max(latestUs, copy.missingUpToUs(region));
            }
        }
        return latestUs;
    }

    /** Finds the latest times of a member in all regions; returns false if some may be damaged or unreadable. */
    private boolean find(long memberKey) {
        resetFound();
        boolean isComplete = isReadable;
        for (int region = 0; region < LONGS; region += REGION_LONGS) {
            if (ownRegion.isUsed(region)) {
                isComplete &= !isDamaged(region) && addEvidence(copy.entryOf(region, memberKey));
            }
        }
        return isComplete;
    }

    private void resetFound() {
        foundPrimaryAtUs = NO_TIME;
        foundReplicaAtUs = NO_TIME;
    }

    /** Adds the times of an entry, if there is one, to those that were found; returns false if it is damaged. */
    private boolean addEvidence(int entry) {
        if (entry == NOT_FOUND) {
            return true;
        }
        if (!copy.isIntact(entry)) {
            return false;
        }
        foundPrimaryAtUs = Math.max(foundPrimaryAtUs, copy.primaryAtUs(entry));
        foundReplicaAtUs = Math.max(foundReplicaAtUs, copy.replicaAtUs(entry));
        return true;
    }
}
