/**
 * Converts Apache httpd's balancer configurations and mod_jk's worker files to lists in discovery's format.
 */
package beechseam.importer;
