package beechseam.importer;

/** A worker from another load balancer's file, with the fields of an entry in discovery's list. */
public record Route(String name, String address, String zone, String kind, int cell, double weight, boolean draining) {}
