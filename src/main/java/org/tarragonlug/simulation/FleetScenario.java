package org.tarragonlug.simulation;

import java.time.Duration;
import java.util.List;

/**
 * Sizes and traffic of a simulated deployment.
 *
 * @param instances number of instances
 * @param domains number of failure domains, over which instances and servers are spread evenly
 * @param servers number of model servers
 * @param slots requests that a server processes at the same time
 * @param queue requests that a server keeps waiting before it rejects others
 * @param capacityMegabytes memory of a server for weights and adapters
 * @param diskMegabytes disk of a server for copies of weights
 * @param hostMegabytes main memory of a server for copies of weights
 * @param adapterSlots adapters that a server holds at most
 * @param cacheTokens tokens of prompts that a server keeps
 * @param remoteLoadTime time to load a model from the weight store at full speed
 * @param parallelLoads loads that the weight store serves at full speed
 * @param loadsPerSecond loads that may start per second
 * @param busyModels number of models that are busy at a time
 * @param shiftPeriod time after which the busiest model falls silent and another one becomes busy
 * @param models all models
 * @param requests the kinds of requests
 * @param burstStart start of a burst of requests for rare models
 * @param burstLength length of the burst
 * @param burstFactor rate during the burst, as a multiple of the usual rate
 * @param faults faults during the traffic
 * @param leadTime time before the first request
 * @param length time with requests
 */
record FleetScenario(
        int instances,
        int domains,
        int servers,
        int slots,
        int queue,
        double capacityMegabytes,
        double diskMegabytes,
        double hostMegabytes,
        int adapterSlots,
        int cacheTokens,
        Duration remoteLoadTime,
        int parallelLoads,
        double loadsPerSecond,
        int busyModels,
        Duration shiftPeriod,
        List<SimulatedModel> models,
        List<RequestProfile> requests,
        Duration burstStart,
        Duration burstLength,
        double burstFactor,
        List<SimulatedFault> faults,
        Duration leadTime,
        Duration length) {
    FleetScenario {
        models = List.copyOf(models);
        requests = List.copyOf(requests);
        faults = List.copyOf(faults);
    }

    /** Returns this deployment with other faults. */
    FleetScenario withFaults(List<SimulatedFault> others) {
        return new FleetScenario(
                instances,
                domains,
                servers,
                slots,
                queue,
                capacityMegabytes,
                diskMegabytes,
                hostMegabytes,
                adapterSlots,
                cacheTokens,
                remoteLoadTime,
                parallelLoads,
                loadsPerSecond,
                busyModels,
                shiftPeriod,
                models,
                requests,
                burstStart,
                burstLength,
                burstFactor,
                others,
                leadTime,
                length);
    }
}
