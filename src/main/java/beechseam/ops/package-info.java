/**
 * Operation of a running node and handover between its processes: the admin endpoint
 * ({@link beechseam.ops.AdminEndpoint}, {@link beechseam.ops.Operations}), the file that stores maintenance calls
 * ({@link beechseam.ops.MaintenanceFile}) and the link over which a process hands over to its successor
 * ({@link beechseam.ops.HandoverLink}). The package may use {@code core}, {@code net} and {@code config};
 * {@code platform} uses it. Processes of other versions read the maintenance file and the frames of the link.
 */
package beechseam.ops;
