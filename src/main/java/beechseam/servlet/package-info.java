/**
 * Middleware for Jakarta Servlet containers, and frameworks on one, over {@link beechseam.library.Balancer}.
 * It may use {@code library} and the servlet API, which is an optional dependency: who has no container does
 * not load it.
 */
package beechseam.servlet;
