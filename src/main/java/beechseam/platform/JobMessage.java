package beechseam.platform;

/**
 * The part of a client's request that is forwarded to executors, copied because it outlives the read buffer.
 *
 * @param target the request target: path and query
 * @param headers the forwarded header lines, each ended by CRLF
 * @param body the body; empty if there is none
 */
record JobMessage(String target, String headers, byte[] body) {}
