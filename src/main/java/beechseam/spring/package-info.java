/**
 * Middleware for Spring over {@link beechseam.library.Balancer}: calls that the host makes are balanced. It
 * may use {@code library} and spring-web, which is an optional dependency.
 */
package beechseam.spring;
