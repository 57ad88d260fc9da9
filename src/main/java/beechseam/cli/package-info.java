/**
 * The command line: one class per command, which parses its arguments and runs code of the other packages.
 */
package beechseam.cli;
