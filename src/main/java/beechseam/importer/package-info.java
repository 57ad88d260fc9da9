/**
 * Reads Apache httpd's balancer configuration and mod_jk's worker files and gives them as a route table.
 */
package beechseam.importer;
