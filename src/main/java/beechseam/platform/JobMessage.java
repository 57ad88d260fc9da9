package beechseam.platform;

/** What of a client's request passes on to executors: copied, since it outlives the read buffer. */
record JobMessage(String target, String headers, byte[] body) {}
