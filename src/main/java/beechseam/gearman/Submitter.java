package beechseam.gearman;

/**
 * What a client has submitted and the server still keeps. Jobs refer to this object and not to the client's session,
 * since a background job may outlive the connection by hours, and a connection with its decoder and buffers takes more
 * memory than the job. The queues are fair among submitters.
 */
final class Submitter {
    /** Number of jobs that the client submitted and that have not ended, in the foreground or background. */
    int openJobs;
}
