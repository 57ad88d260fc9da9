/**
 * Reads and validates configurations and applies their defaults; no other package does so. Every error names the
 * path of the key at fault. The package may use the types of the dispatch module; it opens no socket.
 */
package beechseam.config;
