package beechseam.dispatch;

/**
 * A worker's load as it reports it; what it does not report is NaN.
 *
 * @param inFlight    the jobs it holds, queued ones included
 * @param queued      those of them that have not begun
 * @param freeSlots   its free slots
 * @param freeMemory  its free memory, in slots
 * @param utilization the share of its slots in use, from 0 to 1
 */
public record LoadReport(double inFlight, double queued, double freeSlots, double freeMemory, double utilization) {}
