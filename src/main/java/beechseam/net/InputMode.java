package beechseam.net;

/** How a connection handles its input. */
enum InputMode {
    /** Read input and pass it to the owner. */
    OFFER,
    /** Read nothing, because the buffer is full and its owner has consumed nothing. */
    FULL,
    /** Read and discard input, as the owner chose when the buffer was full; the mode no longer changes. */
    DISCARD
}
