/**
 * HTTP/1.1 on a connection of {@code net}: a parser and a writer of messages, and the serving end of a
 * connection. It knows nothing of what the messages are about.
 */
package beechseam.http;
