import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import {ERRORS} from '../errors/index.js';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.003, 0.01, 0.03, 0.073, 0.1, 0.2, 0.4, 0.64, 1, 2, 5, 10, 30, 60,
];

/** Counters, gauges and histograms of one process. */
export class Metrics {
  readonly registry = new Registry();

  /** Complete responses that were cut, by reason. */
  readonly cutResponses = this.counter(
    'baobabspan_responses_cut_total',
    'Complete responses that were cut before all of their bytes were sent, by reason',
    ['reason'],
  );

  /** Callers' connections that were closed with open requests, by reason. */
  readonly closedCallers = this.counter(
    'baobabspan_callers_closed_total',
    "Callers' connections that were closed with open requests, by reason",
    ['reason'],
  );

  /** Rejected requests, by reason and service. */
  readonly refusals = this.counter(
    'baobabspan_refusals_total',
    'Requests refused, by reason',
    ['reason', 'service'],
  );

  /** Attempts after the first, by reason and service. */
  readonly retries = this.counter(
    'baobabspan_retries_total',
    'Attempts after the first, by reason',
    ['reason', 'service'],
  );

  /** Calls, by the outcome reported to the caller and by service. */
  readonly outcomes = this.counter(
    'baobabspan_outcomes_total',
    'Calls by the outcome told to the caller',
    ['outcome', 'service'],
  );

  /** Dropped link frames, by reason. */
  readonly droppedFrames = this.counter(
    'baobabspan_dropped_frames_total',
    'Frames dropped on links, by reason',
    ['reason'],
  );

  /** Links closed by this process, by reason. */
  readonly closedLinks = this.counter(
    'baobabspan_closed_links_total',
    'Links closed by this process, by reason',
    ['reason'],
  );

  /** Events of reading and writing the platform's log, by kind. */
  readonly logEvents = this.counter(
    'baobabspan_log_events_total',
    "Events of reading and writing the platform's log, by kind",
    ['kind'],
  );

  /** Exceptions that ended one unit of work, by its kind. */
  readonly containedExceptions = this.counter(
    'baobabspan_contained_exceptions_total',
    'Exceptions that ended one unit of work, by its kind',
    ['kind'],
  );

  /** Version of the configuration in force in this process. */
  readonly versionInForce = this.gauge(
    'baobabspan_version_in_force',
    'Version of the configuration in force',
  );

  /** Calls in flight, by service. */
  readonly inFlight = this.gauge('baobabspan_in_flight', 'Calls running now', [
    'service',
  ]);

  /** Time to the first byte of an answer, by service. */
  readonly firstByteSeconds = this.histogram(
    'baobabspan_first_byte_seconds',
    'Time from a request to the first byte of its answer',
    ['service'],
  );

  /** Time between two consecutive frames of an answer, by service. */
  readonly frameGapSeconds = this.histogram(
    'baobabspan_frame_gap_seconds',
    'Time between two pieces of an answer',
    ['service'],
  );

  /** Initializes each reason with 0, so that rates include the first event. */
  constructor() {
    for (const reason of Object.keys(ERRORS)) {
      this.refusals.inc({reason, service: ''}, 0);
      this.retries.inc({reason, service: ''}, 0);
      this.droppedFrames.inc({reason}, 0);
      this.closedLinks.inc({reason}, 0);
    }
  }

  /**
   * Registers a counter.
   * @param name - metric name, `baobabspan_..._total`
   * @param help - help text of one sentence
   * @param labelNames - names of the labels
   */
  counter(name: string, help: string, labelNames: string[] = []): Counter {
    return new Counter({name, help, labelNames, registers: [this.registry]});
  }

  /**
   * Registers a gauge.
   * @param name - metric name
   * @param help - help text of one sentence
   * @param labelNames - names of the labels
   */
  gauge(name: string, help: string, labelNames: string[] = []): Gauge {
    return new Gauge({name, help, labelNames, registers: [this.registry]});
  }

  /**
   * Registers a histogram of durations, seconds.
   * @param name - metric name
   * @param help - help text of one sentence
   * @param labelNames - names of the labels
   */
  histogram(name: string, help: string, labelNames: string[]): Histogram {
    return new Histogram({
      name,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [this.registry],
    });
  }
}
