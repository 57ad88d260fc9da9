/**
 * What operators use of a running node, and what two processes of one node tell each other: the admin
 * endpoint, the file in which maintenance is kept, and the link over which a process hands over to its
 * successor. It may use {@code net} and {@code config}; {@code platform} uses it.
 */
package beechseam.ops;
