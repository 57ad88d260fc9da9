/**
 * The command line: one class a command, which reads its arguments and starts what the other packages hold.
 */
package beechseam.cli;
