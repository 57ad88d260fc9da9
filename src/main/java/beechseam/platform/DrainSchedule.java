package beechseam.platform;

/**
 * When clients are drained to other nodes or to another process, at SIGTERM and on standby alike. Times are
 * nanoseconds of the event loop's clock; {@code Long.MAX_VALUE} is never.
 *
 * @param leavesAt        from when answers carry {@code Connection: close}
 * @param clearsAt        from when idle connections are closed
 * @param shedsAt         from when new jobs are shed
 * @param sparesCallbacks whether connections that have carried callbacks stay open, since they are no client's
 */
record DrainSchedule(long leavesAt, long clearsAt, long shedsAt, boolean sparesCallbacks) {
    /** Nothing is drained. */
    static final DrainSchedule NONE = new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, false);
    /**
     * From the call to the closing of idle connections, in nanoseconds. The load balancer in front learns of a
     * standby within 0.3 s; 4 s after the call no idle connection and no new job may remain.
     */
    private static final long STANDBY_CLEARS_NS = 1_000_000_000L;

    /** From the call to the shedding of new jobs, in nanoseconds. */
    private static final long STANDBY_SHEDS_NS = 2_000_000_000L;

    /** The schedule of a standby that begins now. */
    static DrainSchedule standby(long now) {
        return new DrainSchedule(now, now + STANDBY_CLEARS_NS, now + STANDBY_SHEDS_NS, true);
    }

    /** The schedule of a process that stops without a successor: connected clients are served until then. */
    static DrainSchedule stop(long leavesAt) {
        return new DrainSchedule(leavesAt, leavesAt, Long.MAX_VALUE, false);
    }

    /** The schedule of a process that stops with a successor: answers send clients there from now on. */
    static DrainSchedule handOver(long now, long clearsAt) {
        return new DrainSchedule(now, clearsAt, Long.MAX_VALUE, true);
    }
}
