/**
 * The adapter that runs the decision module on the simulator's wire, one line of JSON after the other on
 * standard input and output.
 */
package beechseam.sim;
