package beechseam.dispatch;

/** Source of workers' load reports. */
public enum LoadReportSource {
    /** Workers send load reports with their answers. */
    ANSWERS,
    /** Workers send load reports in answer to health checks. */
    HEALTH_CHECKS,
    /** Workers send no load reports. */
    NONE
}
