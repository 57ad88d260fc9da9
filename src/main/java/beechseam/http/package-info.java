/**
 * HTTP/1.1 on a connection of {@code net}: a parser and a writer of messages, and the server side of a connection. The
 * package does not depend on the content of the messages.
 */
package beechseam.http;
