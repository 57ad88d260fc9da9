package beechseam.net;

/** What a connection does once all its output is written. */
enum AfterLastWrite {
    STAY_OPEN,
    CLOSE,
    /** Shut the output down, and discard input until the peer closes. */
    HALF_CLOSE
}
