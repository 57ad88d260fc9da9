package beechseam.gearman.queue;

/** A job as the lines see it. */
public interface Waiting {
    /** Still in line; one that left it is passed over when its turn comes, so leaving costs O(1). */
    boolean waiting();

    /** When it came into line, in nanoseconds of the host's clock. */
    long since();
}
