import {initialMap, findMapErrors} from '../../expert_groups/index.js';
import type {
  ExpertMap,
  GroupMessage,
  GroupShape,
  MapVersion,
} from '../../expert_groups/index.js';

type MapMessage = Extract<GroupMessage, {type: 'group_map'}>;

/** Maps that are kept: those in use, to come, and just left. */
const MAX_MAPS = 4;

/** Placements that this sidecar knows, by number. */
export class ExpertMapCache {
  private readonly maps = new Map<MapVersion, ExpertMap>();

  /** @param shape - sizes of the group */
  constructor(private readonly shape: GroupShape) {}

  /**
   * A placement, if it is known.
   * @param version - its number
   */
  get(version: MapVersion): ExpertMap | undefined {
    return version === 0 ? initialMap(this.shape) : this.maps.get(version);
  }

  /**
   * Keeps a placement when it is valid.
   * @param map - the map
   * @returns whether it was kept
   */
  add(map: ExpertMap): boolean {
    if (findMapErrors(map, this.shape).length > 0) return false;
    this.maps.set(map.version, map);
    for (const version of this.maps.keys()) {
      if (this.maps.size <= MAX_MAPS) break;
      this.maps.delete(version);
    }
    return true;
  }

  /**
   * Unpacks and keeps a placement that came over a link.
   * @param message - the message
   */
  addMessage({map, slotsPerRank, layers}: MapMessage): boolean {
    const unpacked = layers.map(
      bytes => new Uint16Array(Uint8Array.from(bytes).buffer),
    );
    return this.add({version: map, slotsPerRank, layers: unpacked});
  }
}

/**
 * Packs a placement into a message.
 * @param group - name of the group
 * @param map - the map
 */
export function encodeMapMessage(group: string, map: ExpertMap): MapMessage {
  const {version, slotsPerRank} = map;
  const layers = map.layers.map(
    layer => new Uint8Array(Uint16Array.from(layer).buffer),
  );
  return {type: 'group_map', group, map: version, slotsPerRank, layers};
}
