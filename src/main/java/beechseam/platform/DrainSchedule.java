package beechseam.platform;

/**
 * How clients are sent away, at SIGTERM and on standby alike, as times of the clock: from {@code leavesAt}
 * answers carry {@code Connection: close}, from {@code clearsAt} idle connections go, from {@code shedsAt}
 * jobs are shed. On standby connections of call-backs are spared: they are no client's.
 */
record DrainSchedule(long leavesAt, long clearsAt, long shedsAt, boolean sparesCallbacks) {
    static final DrainSchedule NONE = new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, false);
    /** The front learns of a standby within 0.3 s; 4 s after the call nothing idle or young may be held. */
    private static final long STANDBY_CLEARS_NS = 1_000_000_000L;

    private static final long STANDBY_SHEDS_NS = 2_000_000_000L;

    static DrainSchedule standby(long now) {
        return new DrainSchedule(now, now + STANDBY_CLEARS_NS, now + STANDBY_SHEDS_NS, true);
    }

    /** The end of the process: whoever is connected is served until then. */
    static DrainSchedule stop(long leavesAt) {
        return new DrainSchedule(leavesAt, leavesAt, Long.MAX_VALUE, false);
    }

    /** The end of a process whose clients another takes: they are sent there with their answers. */
    static DrainSchedule handOver(long now, long clearsAt) {
        return new DrainSchedule(now, clearsAt, Long.MAX_VALUE, true);
    }
}
