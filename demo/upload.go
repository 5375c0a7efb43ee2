package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/almondflow/almondflow/standin"
)

// Limits of the size of a photo.
const (
	minPhotoBytes = 64 << 10
	maxPhotoBytes = 512 << 10
)

var errDigestMismatch = errors.New("digest mismatch")

// uploads counts and sends photos to the photo service and verifies the digests returned.
type uploads struct {
	env      *environment
	log      *progress
	sent     atomic.Int64
	verified atomic.Int64
	running  sync.WaitGroup
}

// start uploads a photo whose content the seed determines.
func (u *uploads) start(ctx context.Context, seed uint64) {
	u.sent.Add(1)
	u.running.Go(func() {
		if err := u.upload(ctx, newPhoto(seed)); err != nil {
			u.log.printf("upload failed: %v", err)
			return
		}
		u.verified.Add(1)
	})
}

func newPhoto(seed uint64) []byte {
	source := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, minPhotoBytes+source.IntN(maxPhotoBytes-minPhotoBytes))
	for i := range b {
		b[i] = byte(source.Uint32())
	}
	return b
}

func (u *uploads) upload(ctx context.Context, body []byte) error {
	c, err := u.env.dialer.dial(ctx, clientAddress, u.env.photos)
	if err != nil {
		return err
	}
	defer c.close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, u.env.url(standin.PhotoPath), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	u.env.checkPool(response, u.env.deployment.photos.pool)
	digest, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if want := sha256.Sum256(body); string(digest) != hex.EncodeToString(want[:]) {
		return errDigestMismatch
	}
	return nil
}
