package beechseam.net;

/** What a connection does with its input. */
enum InputMode {
    /** Read it and offer it to the owner. */
    OFFER,
    /** Read nothing: the buffer is full and its owner consumes none of it. */
    FULL,
    /** Read and drop it, as the owner decided over a full buffer; final. */
    DISCARD
}
