package beechseam.net;

/** The action of a connection once all its output is written. */
enum AfterLastWrite {
    STAY_OPEN,
    CLOSE,
    /** Shut down the output and discard input until the peer closes. */
    HALF_CLOSE
}
