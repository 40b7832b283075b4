/**
 * What a host reports of a crash: the suspects of the requests that were cut
 * before their answers had begun.
 */
import type {EndpointCrash} from './detector.js';
import type {Evidence, SuspectedCrash, SuspectSend} from './evidence.js';
import {
  keyFromMessage,
  MAX_REPORTED_SUSPECTS,
  type CrashReport,
} from './message.js';
import {isRequest, suspectOf} from './suspect.js';

/** The suspects of a crash, each once and the requests first. */
export function suspectsOf({requests}: EndpointCrash): SuspectSend[] {
  const suspects = new Map<string, SuspectSend>();
  for (const {traits, sentAt, events} of requests) {
    if (events > 0) continue;
    for (const [index, key] of traits.keys.entries()) {
      if (sentAt <= (suspects.get(key)?.sentAt ?? -Infinity)) continue;
      const position = Math.max(index - 1, 0);
      const team = isRequest(key) ? traits.team : '';
      suspects.set(key, {key, sentAt, position, team});
    }
  }
  const all = [...suspects.values()];
  return [
    ...all.filter(({key}) => isRequest(key)),
    ...all.filter(({key}) => !isRequest(key)),
  ].slice(0, MAX_REPORTED_SUSPECTS);
}

/** The report of a crash for other hosts, at a monotonic time. */
export function reportOf(crash: SuspectedCrash, now: number): CrashReport {
  return {
    endpoint: crash.endpoint,
    ago: Math.max(now - crash.at, 0),
    suspects: crash.suspects.map(({key, sentAt, position, team}) => {
      const {kind, id} = suspectOf(key);
      const sentAgo = Math.max(now - sentAt, 0);
      return {kind, part: id, sentAgo, position, team};
    }),
  };
}

/** The crash that another host reports, in the time of this one. */
export function crashOf(report: CrashReport, now: number): SuspectedCrash {
  return {
    endpoint: report.endpoint,
    at: now - report.ago,
    suspects: report.suspects.map(suspect => {
      const {sentAgo, position, team} = suspect;
      const sentAt = now - sentAgo;
      return {key: keyFromMessage(suspect), sentAt, position, team};
    }),
  };
}

/**
 * Reports of the crashes that count against suspects, the oldest first, for a
 * host that has missed them. Of many suspects those with the most crashes.
 */
export function reportsOf(evidence: Evidence, now: number): CrashReport[] {
  const ranked = [...evidence.suspicions].sort(
    ([, one], [, other]) => other.counted.length - one.counted.length,
  );
  const crashes = new Map<string, SuspectedCrash>();
  for (const [key, {counted, position, team}] of ranked) {
    for (const {endpoint, at} of counted) {
      const {suspects = []} = crashes.get(endpoint) ?? {};
      if (suspects.length >= MAX_REPORTED_SUSPECTS) continue;
      const suspect = {key, sentAt: at, position, team};
      crashes.set(endpoint, {endpoint, at, suspects: [...suspects, suspect]});
    }
  }
  return [...crashes.values()]
    .sort((one, other) => one.at - other.at)
    .map(crash => reportOf(crash, now));
}
