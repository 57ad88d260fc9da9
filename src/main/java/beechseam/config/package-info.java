/**
 * Configuration: reads, validates and applies defaults, which is done nowhere else. An error names the path of
 * its key. The package may use the types of the dispatch module; it opens no socket.
 */
package beechseam.config;
