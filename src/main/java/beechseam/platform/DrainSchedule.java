package beechseam.platform;

/**
 * The times of the steps by which clients are drained to other nodes or to a successor process, during shutdown and
 * standby. Times are nanoseconds of the event loop's clock; {@code Long.MAX_VALUE} means never.
 *
 * @param drainsAt        the time from which responses carry {@code Connection: close}
 * @param closesIdleAt    the time from which idle connections are closed
 * @param shedsAt         the time from which new jobs are shed
 * @param sparesCallbacks whether connections that have carried callbacks stay open, since their peers are executors
 */
record DrainSchedule(long drainsAt, long closesIdleAt, long shedsAt, boolean sparesCallbacks) {
    /** The schedule of a node that serves its clients and drains none. */
    static final DrainSchedule NONE = new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, false);
    /**
     * The delay from the standby call to the closing of idle connections, in nanoseconds. The load balancer in front
     * detects a standby within 0.3 s; 4 s after the call no idle connection and no new job may remain.
     */
    private static final long STANDBY_CLOSES_IDLE_NS = 1_000_000_000L;

    /** The delay from the standby call to the shedding of new jobs, in nanoseconds. */
    private static final long STANDBY_SHEDS_NS = 2_000_000_000L;

    /** Returns the schedule of a standby that begins now. */
    static DrainSchedule standby(long now) {
        return new DrainSchedule(now, now + STANDBY_CLOSES_IDLE_NS, now + STANDBY_SHEDS_NS, true);
    }

    /** Returns the schedule of a process that stops without a successor and serves clients until {@code drainsAt}. */
    static DrainSchedule stop(long drainsAt) {
        return new DrainSchedule(drainsAt, drainsAt, Long.MAX_VALUE, false);
    }

    /** Returns the schedule of a process that stops with a successor: responses send clients there from now on. */
    static DrainSchedule handOver(long now, long closesIdleAt) {
        return new DrainSchedule(now, closesIdleAt, Long.MAX_VALUE, true);
    }
}
