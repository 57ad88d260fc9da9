/**
 * What operators use of a running node, and what the processes of one node exchange: the admin endpoint
 * ({@link beechseam.ops.AdminEndpoint}, {@link beechseam.ops.Operations}), the file that keeps maintenance
 * ({@link beechseam.ops.MaintenanceFile}) and the link over which a process hands over to its successor
 * ({@link beechseam.ops.HandoverLink}). It may use {@code core}, {@code net} and {@code config};
 * {@code platform} uses it. Frames of the link and the file are read by processes of other versions.
 */
package beechseam.ops;
