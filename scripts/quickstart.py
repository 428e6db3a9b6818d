#!/usr/bin/env python3
"""Starts a small deployment on loopback, sends a chat and a booking through it, and stops it."""
import json
import sys
import uuid

import rig

MODEL = "oak-stain"
CUSTOMER = "hotel-crews"


def main():
    with rig.Rig(rig.build_folder(), ["dar-a", "dar-b", "dar-c"]) as fleet:
        print("Starting log, host list, weight store, 3 engines, 1 service, 4 agents and 2 entries ...")
        fleet.start_platform(["--mb-per-second=100000"])
        fleet.start_workers("stain-advisor", 3, "standin-engine")
        fleet.start_workers("dispatch-desk", 1, "standin-service")
        fleet.start_entries(2)
        print("Applying examples/mti-finish ...")
        fleet.apply_example("mti-finish")
        headers = {"Authorization": "Bearer " + fleet.grant_key(CUSTOMER)}
        fleet.wait_until_ready()
        entry = fleet.entries[0].url
        rig.wait_for(lambda: rig.call("GET", entry + "/parcels/ready", headers=headers)[0] == 200,
                     "no target was found: " + rig.call("GET", entry + "/parcels/ready", headers=headers)[1])

        chat = {"model": MODEL, "stream": True, "max_tokens": 12,
                "messages": [{"role": "user", "content": "Which stain suits reclaimed oak in a hotel lobby?"}]}
        status, stream = rig.call("POST", entry + "/v1/chat/completions", chat, headers)
        print(f"\nPOST /v1/chat/completions -> {status}")
        print(text_of(stream) if status == 200 else stream)

        booking = {"parcel": "12 stain samples", "to": "Hotel Kilimanjaro"}
        booking_status, answer = rig.call("POST", entry + "/couriers/bookings", booking,
                                          {**headers, "Idempotency-Key": str(uuid.uuid4())})
        print(f"\nPOST /couriers/bookings -> {booking_status}\n{answer.strip()}")
        print("\nEverything is stopped again. Look next at README.md, examples/mti-finish/*.yaml and docs/operators/.")
        return 0 if status == 200 and booking_status == 200 else 1


def text_of(stream):
    """The text of a streamed answer."""
    words = []
    for line in stream.splitlines():
        if line.startswith("data: {"):
            delta = json.loads(line[len("data: "):])["choices"][0]["delta"]
            words.append(delta.get("content", ""))
    return "".join(words)


if __name__ == "__main__":
    sys.exit(main())
