package org.tarragonlug.measure;

import java.util.Random;

/** The two simulated deployments, with the sizes given in docs/design.md, section 1.1. */
public enum Deployment {
    /**
     * Cargas Seguras Andinas serves lessons; idle accelerator hours weigh more than at the other
     * deployment.
     */
    CARGAS(8, 65, 80, 2) {
        @Override
        TrafficTrace traffic(int days, Random random) {
            return new CargasTraffic(models(), adapters(), days, random).generate();
        }
    },
    /**
     * Recuperaciones Solano Hermanos serves flights and sightings; the tail of the cold-start times
     * weighs more than at the other deployment.
     */
    SOLANO(8, 70, 65, 30) {
        @Override
        TrafficTrace traffic(int days, Random random) {
            return new SolanoTraffic(models(), adapters(), days, random).generate();
        }
    };

    private final int servers;
    private final int models;
    private final int adapters;
    private final double coldStartWeight;

    Deployment(int servers, int models, int adapters, double coldStartWeight) {
        this.servers = servers;
        this.models = models;
        this.adapters = adapters;
        this.coldStartWeight = coldStartWeight;
    }

    abstract TrafficTrace traffic(int days, Random random);

    /** Returns the number of backend servers with model engines. */
    public int servers() {
        return servers;
    }

    /** Returns the number of models, without adapters. */
    public int models() {
        return models;
    }

    /** Returns the number of adapters of all models together. */
    public int adapters() {
        return adapters;
    }

    /** Returns how many idle accelerator seconds one second of cold-start wait is worth. */
    public double coldStartWeight() {
        return coldStartWeight;
    }
}
