package beechseam.dispatch;

/** Where load reports come from. */
public enum LoadReportSource {
    /** Workers send them with their answers. */
    ANSWERS,
    /** Workers send them in answer to health checks. */
    HEALTH_CHECKS,
    /** There are none. */
    NONE
}
