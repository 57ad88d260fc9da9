package beechseam.dispatch;

/**
 * A worker's load as reported by the worker; a value that it does not report is NaN.
 *
 * @param inFlight    the worker's jobs, running and queued
 * @param queued      the jobs among them that have not started
 * @param freeSlots   the worker's free slots
 * @param freeMemory  the worker's free memory, in slots
 * @param utilization the share of the worker's slots in use, from 0 to 1
 */
public record LoadReport(double inFlight, double queued, double freeSlots, double freeMemory, double utilization) {}
