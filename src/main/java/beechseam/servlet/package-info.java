/**
 * Middleware over {@link beechseam.library.Balancer} for Jakarta Servlet containers and frameworks that run on
 * them. The package may use {@code library} and the servlet API, which is an optional dependency: a host without a
 * container does not load it.
 */
package beechseam.servlet;
