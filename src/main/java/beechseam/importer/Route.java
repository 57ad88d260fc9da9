package beechseam.importer;

/** A worker of a foreign balancer's file, in the words of a discovery list. */
public record Route(String name, String address, String zone, String kind, int cell, double weight, boolean draining) {}
