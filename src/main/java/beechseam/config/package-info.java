/**
 * Configuration: the one place that reads, checks and defaults it. A fault is told by the path of its key.
 * It may use the module's interface; nothing here opens a socket.
 */
package beechseam.config;
