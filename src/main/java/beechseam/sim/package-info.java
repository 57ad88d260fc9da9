/**
 * The adapter that runs the dispatcher under the simulator. They exchange messages as lines of JSON on standard input
 * and output.
 */
package beechseam.sim;
